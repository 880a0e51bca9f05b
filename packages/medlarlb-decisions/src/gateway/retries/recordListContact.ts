import type { GatewayContext } from "../gatewayContext.js";
import { logRetryShare } from "./logRetryShare.js";
import { shareFixedTokens } from "./shareFixedTokens.js";
import { shareTimesMs } from "./shareTimesMs.js";

/**
 * Records that the store's list was as this instance sees it at a time. It counts only while the list names this instance, so
 * that the others see it there, too.
 */
export const recordListContact = (context: GatewayContext, atMs: number): void => {
    const { groupView: view, nowMs, settings } = context;
    if (!view.isListed || !(atMs > view.contactAtMs)) {
        return;
    }
    if (nowMs - view.contactAtMs > settings.retryWindowMs) {
        view.observedSinceMs = nowMs;
    }
    view.contactAtMs = atMs;
    const { memoryMs } = shareTimesMs(settings);
    const expired = [...view.goneAtMs].filter(([, goneAtMs]) => nowMs - goneAtMs >= memoryMs);
    if (expired.length > 0) {
        expired.forEach(([id]) => view.goneAtMs.delete(id));
        shareFixedTokens(context);
    }
    logRetryShare(context);
};
