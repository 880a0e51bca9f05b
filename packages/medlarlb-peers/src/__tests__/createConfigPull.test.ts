import { expect } from "chai";
import { waitFor } from "medlarlb-fakes/cluster/waitFor";
import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import { createConfigPull } from "../createConfigPull.js";
import { createErrorGuard } from "../createErrorGuard.js";

describe("createConfigPull", () => {
    // FAULT: an error in the timer of a delayed request ended the process.
    it("reports an error of a delayed request, and requests the configuration again", async () => {
        const failures: string[] = [];
        const requested: string[] = [];
        let isFailing = true;
        const pullConfig = createConfigPull({
            delayMs: 1,
            configRevision: () => 0,
            request: id => {
                if (isFailing) {
                    throw new TypeError("nobody has foreseen this");
                }
                requested.push(id);
            },
            guard: createErrorGuard((kind, err) => failures.push(`${kind}: ${String(err)}`)),
        });
        pullConfig(brandAs<InstanceId>("one"), 5);
        await waitFor("it has failed", () => failures.length === 1);
        expect(failures).to.deep.equal(["configPull: TypeError: nobody has foreseen this"]);
        isFailing = false;
        pullConfig(brandAs<InstanceId>("one"), 5);
        await waitFor("it is requested", () => requested.length === 1);
    });
});
