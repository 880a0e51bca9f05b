/** Tokens that were asked for recently: a sum in which each request fades over `FADE_MS`. */
export interface RecentUse {
    tokens: number;
    atMs: number;
}
