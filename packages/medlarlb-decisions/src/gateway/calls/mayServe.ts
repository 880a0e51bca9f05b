import type { CallRow } from "../rows/callRow.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { mayContinueStream } from "../streams/mayContinueStream.js";
import { hasRequestedModel } from "./hasRequestedModel.js";

/** Returns whether a target could run a call if it takes requests now: it holds the model, and the call may still use it. */
export const mayServe = (row: CallRow, target: PoolTarget): boolean =>
    !row.excludedTargets.has(target.entry.targetId) && hasRequestedModel(target, row.metadata, false) && mayContinueStream(row, target);
