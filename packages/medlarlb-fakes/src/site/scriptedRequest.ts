/** A request that a scripted engine has received. */
export interface ScriptedRequest {
    id: string;
    method: string;
    path: string;
    /** Id of the engine that the request is meant for. */
    expectedTarget: string | undefined;
    /** Id of the event after which a stream goes on. */
    lastEventId: string | undefined;
    /** Ids of the requests that its connection carried before, the latest last. */
    previousIds: string[];
}
