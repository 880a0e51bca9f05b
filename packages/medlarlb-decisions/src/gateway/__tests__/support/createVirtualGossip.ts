import type { GatewayInput } from "../../gatewayInput.js";
import type { VirtualServiceInstance } from "./virtualServiceInstance.js";

interface GossipOptions {
    random: () => number;
    now: () => number;
    after: (delayMs: number, run: () => void) => void;
    give: (instance: VirtualServiceInstance, ...inputs: GatewayInput[]) => void;
    instances: () => VirtualServiceInstance[];
}

/** Time in ms until an instance that has started gets the gossip of another, and mean interval at which one gets more. */
const FIRST_GOSSIP_MS = 300;
const GOSSIP_INTERVAL_MS = 1_000;

/** Simulates the gossip among instances, which also reaches those that messages have missed. */
export const createVirtualGossip = ({ random, now, after, give, instances }: GossipOptions) => {
    /** Gives an instance what another one knows, unless one of them is cut off. */
    const pull = (instance: VirtualServiceInstance): void => {
        const others = instances().filter(each => each !== instance && !each.isCut && !each.isPaused);
        const other = others[Math.floor(random() * others.length)];
        if (other === undefined || instance.isCut) {
            return;
        }
        const fresh = other.known.filter(each => !instance.known.includes(each));
        instance.known.push(...fresh);
        for (const { observations, atMs } of fresh) {
            give(instance, { kind: "observations", observations, reporterZone: undefined, ageMs: now() - atMs });
        }
    };
    const pullRepeatedly = (instance: VirtualServiceInstance): void => after(GOSSIP_INTERVAL_MS * (0.5 + random()), () => {
        if (!instance.isPaused) {
            pull(instance);
        }
        pullRepeatedly(instance);
    });
    return {
        pullRepeatedly,
        /** Has an instance that has just started pull, unless it starts again before. */
        pullSoon: (instance: VirtualServiceInstance): void => {
            const { boot } = instance;
            after(FIRST_GOSSIP_MS, () => instance.boot === boot && pull(instance));
        },
    };
};
