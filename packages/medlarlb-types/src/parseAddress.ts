/** Leading zeros would make a host name of the number. */
const ADDRESS = /^((?:0|[1-9]\d{0,2})(?:\.(?:0|[1-9]\d{0,2})){3}):(\d{1,5})$/;
const MAX_BYTE = 255;
const MAX_PORT = 65_535;

/** Parses an address of the form `IP:PORT`, or returns undefined if nothing can listen there. */
export const parseAddress = (text: string): { host: string; port: number } | undefined => {
    const [, host = "", digits] = ADDRESS.exec(text) ?? [];
    const port = Number(digits);
    const isHost = host !== "" && host.split(".").every(part => Number(part) <= MAX_BYTE);
    return isHost && port >= 1 && port <= MAX_PORT ? { host, port } : undefined;
};
