/** An answer that never ends: its first bytes, and those that follow again and again until the connection closes. */
export interface EndlessAnswer {
    start: string;
    part: string;
    /** Time in ms between the two; 0 if it isn't given. */
    pauseMs?: number;
}
