/** Keys that instances write in the platform's store. */
export const directoryKeys = {
    prefix: "medlarlb/",
    instance: (id: string): string => `medlarlb/instances/${id}`,
    planner: (zone: string): string => `medlarlb/planners/${zone}`,
} as const;
