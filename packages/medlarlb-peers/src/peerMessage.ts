import type { ConfigEntry } from "medlarlb-types/configEntry";
import type { TargetObservation } from "medlarlb-types/targetObservation";
import type { DemandCount } from "medlarlb-types/demandCount";
import type { DirectoryRelay } from "medlarlb-types/directoryRelay";
import type { DecisionRecord } from "medlarlb-types/decisionRecord";
import type { GoneTarget } from "medlarlb-types/goneTarget";
import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import type { StoreEntry } from "medlarlb-types/storeEntry";
import type { LoadDigest } from "medlarlb-types/loadDigest";
import type { PermitAnswer } from "medlarlb-types/permitAnswer";
import type { PlacementUpdate } from "medlarlb-types/placementUpdate";
import type { QuotaGrant } from "medlarlb-types/quotaGrant";
import type { QuotaWant } from "medlarlb-types/quotaWant";
import type { StreamOrigin } from "medlarlb-types/streamOrigin";
import type { TargetId } from "medlarlb-types/targetId";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { MemberInfo } from "./memberInfo.js";
import type { GossipEntry } from "./gossipEntry.js";

/** Messages between instances, with the field names that the frames encode. */
export type PeerMessage =
    | { kind: "hello"; protocol: number; id: string; bootId: string; nonce: string }
    | { kind: "proof"; mac: string }
    | { kind: "probe"; sequence: number; sender: MemberInfo; configRevision: number; rumours: GossipEntry[] }
    | { kind: "ack"; sequence: number; sender: MemberInfo; configRevision: number; rumours: GossipEntry[] }
    /** Asks the receiver to probe the instance `id`, because the sender got no ack; `probedFor` holds the result. */
    | { kind: "probeFor"; sequence: number; id: string }
    | { kind: "probedFor"; sequence: number; id: string; answered: boolean }
    /** Asks for gossip entries: those limited to the sender's zone and, if the digests differ, those for all zones too. */
    | { kind: "pullRumours"; digest: number }
    | { kind: "rumours"; rumours: GossipEntry[] }
    | { kind: "pullConfig"; since: number }
    | { kind: "config"; revision: number; base: number; entries: ConfigEntry[] }
    | { kind: "demand"; counts: DemandCount[] }
    | { kind: "pullDecisions"; sequence: number; after: number }
    | { kind: "status"; status: InstanceStatus }
    | { kind: "digest"; digest: LoadDigest }
    /** Placement update of a planner. */
    | { kind: "news"; news: PlacementUpdate }
    /** Asks a planner for a permit to send a request to a limited target; `permit` answers. */
    | { kind: "permitWanted"; targetId: TargetId }
    | { kind: "permit"; answer: PermitAnswer }
    /** Asks a hub for tokens of workspaces' quotas; `quotaGranted` answers, for each workspace now or a little later. */
    | { kind: "quotaWanted"; sequence: number; wants: QuotaWant[] }
    | { kind: "quotaGranted"; sequence: number; grants: QuotaGrant[] }
    /** Observations of targets, from an instance of `reporterZone`. */
    | { kind: "observations"; reporterZone: ZoneId; observations: TargetObservation[] }
    /**
     * Asks for the entries of the platform's store that the receiver knows, which `directory` answers, unless it knows no revision
     * after `since`. Entries without a revision of the whole are those of an instance that hasn't read the store, or is older. With
     * `withGone`, the answer always comes and names the targets that have left.
     */
    | { kind: "pullDirectory"; since?: number | undefined; withGone?: boolean }
    | { kind: "directory"; items: StoreEntry[]; revision?: number | undefined; gone?: GoneTarget[] }
    /** Who began streams that their callers may take up at any instance, and the question for it. */
    | { kind: "streamOrigins"; origins: StreamOrigin[] }
    | { kind: "originWanted"; requestId: string }
    /** Changes of the platform's store, from the instance that watches it for its zone. */
    | { kind: "directoryChange"; changes: DirectoryRelay }
    /** Asks the receiver to read the store; `directoryChange` with the same sequence answers. */
    | { kind: "listWanted"; sequence: number }
    /** Asks a planner for a model or an adapter that a caller waits for. */
    | { kind: "wanted"; service: string; model: string; adapter: string | undefined; targetId: string | undefined }
    | { kind: "decisions"; sequence: number; bootId: string; records: DecisionRecord[]; oldest: number };
