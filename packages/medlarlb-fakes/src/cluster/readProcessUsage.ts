import { readFileSync } from "node:fs";

interface Usage {
    /** Processor time in user and system mode since the start of the process. */
    cpuSeconds: number;
    /** Resident memory. */
    memoryBytes: number;
}

const TICKS_PER_SECOND = 100; // unit of the kernel's processor times in /proc
const PAGE_BYTES = 4_096;

/** Reads the processor time and the resident memory of a process from /proc. */
export const readProcessUsage = (pid: number): Usage => {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
    return {
        cpuSeconds: (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND,
        memoryBytes: Number(fields[21]) * PAGE_BYTES,
    };
};
