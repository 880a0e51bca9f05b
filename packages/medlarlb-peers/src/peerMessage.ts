import type { ConfigEntry } from "medlarlb-types/configEntry";
import type { DemandCount } from "medlarlb-types/demandCount";
import type { DecisionRecord } from "medlarlb-types/decisionRecord";
import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import type { StoreItem } from "medlarlb-types/storeItem";
import type { SiteDigest } from "medlarlb-types/siteDigest";
import type { PlacementNews } from "medlarlb-types/placementNews";
import type { MemberRow } from "./memberRow.js";
import type { Rumour } from "./rumour.js";

/** Messages between instances, as they stand in the frames. */
export type PeerMessage =
    | { kind: "hello"; protocol: number; id: string; bootId: string; nonce: string }
    | { kind: "proof"; mac: string }
    | { kind: "probe"; sequence: number; sender: MemberRow; configRevision: number; rumours: Rumour[] }
    | { kind: "ack"; sequence: number; sender: MemberRow; configRevision: number; rumours: Rumour[] }
    | { kind: "probeFor"; sequence: number; id: string }
    | { kind: "probedFor"; sequence: number; id: string; answered: boolean }
    /** Asks for the rumours of the other's table, or for what concerns the zone alone if the digests are equal. */
    | { kind: "pullRumours"; digest: number }
    | { kind: "rumours"; rumours: Rumour[] }
    | { kind: "pullConfig"; since: number }
    | { kind: "config"; revision: number; base: number; entries: ConfigEntry[] }
    | { kind: "demand"; counts: DemandCount[] }
    | { kind: "pullDecisions"; sequence: number; after: number }
    | { kind: "status"; status: InstanceStatus }
    | { kind: "digest"; digest: SiteDigest }
    | { kind: "news"; news: PlacementNews }
    /** Asks for what the other knows of the platform's store, and the answer to it. */
    | { kind: "pullDirectory" }
    | { kind: "directory"; items: StoreItem[] }
    | { kind: "wanted"; service: string; model: string; adapter: string | undefined; targetId: string | undefined }
    | { kind: "decisions"; sequence: number; bootId: string; records: DecisionRecord[]; oldest: number };
