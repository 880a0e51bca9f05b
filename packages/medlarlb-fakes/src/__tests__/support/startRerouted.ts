const portOf = (address: string): number => Number(address.split(":")[1]);

/** Starts a process whose connections to one address on loopback lead to another one. */
export const startRerouted = async <Started>(from: string, to: string, start: () => Promise<Started>): Promise<Started> => {
    const script = [
        "import net from 'node:net';",
        "import { syncBuiltinESMExports } from 'node:module';",
        "const { createConnection } = net;",
        `const route = options => (options.port === ${portOf(from)} ? { ...options, port: ${portOf(to)} } : options);`,
        "net.createConnection = (options, ...rest) => createConnection(route(options), ...rest);",
        "syncBuiltinESMExports();",
    ].join("");
    const { NODE_OPTIONS = "" } = process.env;
    process.env.NODE_OPTIONS = `${NODE_OPTIONS} --import=data:text/javascript,${encodeURIComponent(script)}`;
    try {
        return await start();
    }
    finally {
        process.env.NODE_OPTIONS = NODE_OPTIONS;
    }
};
