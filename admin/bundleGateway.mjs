// Bundles the gateway from its TypeScript sources into one file, target/medlarlb-gateway.cjs. One file starts faster than many modules.
import { build } from "esbuild";

await build({
    entryPoints: ["packages/medlarlb-daemon/src/bundledGatewayMain.ts"],
    outfile: "target/medlarlb-gateway.cjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minifySyntax: true,
    legalComments: "linked",
    plugins: [{
        name: "workspace-sources",
        setup: ({ onResolve }) => {
            onResolve({ filter: /^medlarlb-[a-z-]+\// }, args => {
                const [name, ...path] = args.path.split("/");
                const folder = name === "medlarlb-site-adapter" ? "platform" : `packages/${name}`;
                return { path: `${process.cwd()}/${folder}/src/${path.join("/")}.ts` };
            });
        },
    }],
});
