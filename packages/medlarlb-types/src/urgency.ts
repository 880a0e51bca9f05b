/**
 * Demand of one rank for the targets of a model or plain service: the rank (0 is served first), the waiting requests, their prompt
 * tokens (0 for a plain service), and the requests that arrive in 10 s or, for a model, the ms that an engine needs for them.
 */
export type Urgency = [rank: number, requests: number, tokens: number, arrivals: number];
