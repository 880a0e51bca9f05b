/** Keys of the system in the KV service. */
export const kvKeys = {
    /** Written with each change of the configuration; its revision is the configuration's. */
    configHead: "/medlarlb/config/head",
    configPrefix: "/medlarlb/config/",
    kindPrefix: (kind: string): string => `/medlarlb/config/${kind}/`,
    resource: (kind: string, name: string): string => `/medlarlb/config/${kind}/${name}`,
    auditPrefix: "/medlarlb/audit/",
    audit: (id: string): string => `/medlarlb/audit/${id}`,
    ledgerPrefix: (zone: string): string => `/medlarlb/ledgers/${zone}/`,
    ledger: (zone: string, targetId: string): string => `/medlarlb/ledgers/${zone}/${targetId}`,
    anchorPrefix: "/medlarlb/anchors/",
    anchor: (itemId: string): string => `/medlarlb/anchors/${itemId}`,
    planner: (zone: string, shard: number): string => `/medlarlb/planners/${zone}/${shard}`,
    claim: (key: string): string => `/medlarlb/claims/${key}`,
};
