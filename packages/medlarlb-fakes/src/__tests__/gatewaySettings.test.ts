import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";

const GATEWAY_SCRIPT = "packages/medlarlb-daemon/lib/gatewayMain.js";

describe("A gateway process with bad settings", () => {
    const folder = mkdtempSync(join(tmpdir(), "medlarlb-gateway-"));

    after(() => rmSync(folder, { recursive: true, force: true }));

    it("prints every fault of its settings and exits with code 2", async () => {
        const path = join(folder, "bad.ini");
        writeFileSync(path, "[instance]\nzone =\n[caller]\naddress = nowhere\n[store]\nadress = 10.0.0.1:80\n");
        const child = spawn(process.execPath, [GATEWAY_SCRIPT], { env: { ...process.env, MEDLARLB_CONFIG: path }, stdio: ["ignore", "ignore", "pipe"] });
        let errors = "";
        child.stderr.on("data", chunk => {
            errors += String(chunk);
        });
        const [code] = await once(child, "exit");
        expect(code).to.equal(2);
        expect(errors).to.include("caller.address").and.include("store.adress").and.include("did you mean store.address?").and.include("peer.key");
    });
});
