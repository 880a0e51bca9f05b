/** The part of the library's interface that is used. It comes without types. */
declare module "tdigest" {
    class TDigest {
        constructor(compression?: number, maxCentroids?: number);
        push(value: number): void;
        percentile(share: number): number;
    }
    const tdigest: { TDigest: typeof TDigest };
    export type { TDigest };
    export default tdigest;
}
