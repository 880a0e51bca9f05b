/**
 * Time in ms after which a query without an answer is given up and sent again. Its answer is then void. A hub that reads a new
 * configuration takes some hundred ms.
 */
export const QUERY_TIMEOUT_MS = 250;
