/** Longest time in ms of accrual that one status lends: a status interval and half of one. Accrual beyond it is lost. */
export const MAX_LENT_MS = 300;
