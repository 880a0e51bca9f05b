import type { GatewayWorld } from "../gatewayWorld.js";
import { shareNews } from "./shareNews.js";

/** Counts adapters as held whose time of loading is over. */
export const settleAdapters = (world: GatewayWorld): void => {
    for (const duty of world.duties.values()) {
        const left = duty.arriving.filter(each => each.doneAtMs > world.nowMs);
        if (left.length < duty.arriving.length) {
            duty.arriving = left;
            shareNews(world, duty);
        }
    }
};
