import { readFileSync } from "node:fs";

interface Usage {
    cpuSeconds: number;
    memoryBytes: number;
}

const TICKS_PER_SECOND = 100; // clock ticks of the kernel's accounting
const PAGE_BYTES = 4_096;

/** Reads the processor time and the resident memory of a process. */
export const readProcessUsage = (pid: number): Usage => {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
    return {
        cpuSeconds: (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND,
        memoryBytes: Number(fields[21]) * PAGE_BYTES,
    };
};
