import { getHeapStatistics } from "node:v8";

const BYTES_PER_MB = 1_048_576;

const toMb = (bytes: number): number => Math.round(bytes / BYTES_PER_MB);

/** Describes the memory of this process for the log, in MB, and its open sockets. */
export const describeMemory = () => {
    const { used_heap_size: heapBytes, heap_size_limit: heapLimitBytes } = getHeapStatistics();
    return {
        residentMb: toMb(process.memoryUsage.rss()),
        heapMb: toMb(heapBytes),
        heapLimitMb: toMb(heapLimitBytes),
        sockets: process.getActiveResourcesInfo().filter(each => each === "TCPSocketWrap").length,
    };
};
