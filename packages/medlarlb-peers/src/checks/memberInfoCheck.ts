import { checks } from "./checks.js";

const { address, count, flag, id, object, text } = checks;

/** Check of what an instance reports of itself. */
export const memberInfoCheck = object({ id, bootId: id, zone: id, address, operatorAddress: text, incarnation: count, leaving: flag });
