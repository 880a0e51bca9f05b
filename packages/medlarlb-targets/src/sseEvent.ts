/** One event of an answer stream. Offsets count from 1 without gaps. */
export interface SseEvent {
    offset: number;
    data: string;
    /** Whether the target sent the offset as the event's id. Without ids the stream can't be resumed. */
    hasEventId: boolean;
}
