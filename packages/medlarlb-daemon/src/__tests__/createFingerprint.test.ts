import { expect } from "chai";
import { createFingerprint } from "../gateway/createFingerprint.js";

const PARTS = { method: "POST", host: "site.example", path: "/a?x=1", callerIdentity: "key-1", body: Buffer.from("text") };

describe("the fingerprint of a request", () => {
    it("is equal for repeats, whatever the case of the host name", () => {
        expect(createFingerprint({ ...PARTS, host: "Site.Example" })).to.equal(createFingerprint(PARTS));
    });

    it("differs when the method, the host, the path, the query, the caller or the body does", () => {
        const others = [{ method: "PUT" }, { host: "other.example" }, { path: "/b?x=1" }, { path: "/a?x=2" }, { callerIdentity: "key-2" }, { body: Buffer.from("test") }, { body: undefined }];
        const fingerprints = [PARTS, ...others.map(other => ({ ...PARTS, ...other }))].map(createFingerprint);
        expect(new Set(fingerprints).size).to.equal(others.length + 1);
    });
});
