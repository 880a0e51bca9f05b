/** Number of levels of recent use within a priority. */
export const LEVEL_COUNT = 16;
