import type { TargetRequestFailure } from "./targetRequestFailure.js";

const NOT_SENT_CODES = new Set(["UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH", "EADDRNOTAVAIL"]);

/** Classifies an error of the HTTP client by whether the request can have reached the target. */
export const classifyRequestError = (err: NodeJS.ErrnoException): TargetRequestFailure => {
    const code = err.code ?? "";
    if (code === "ECONNREFUSED") {
        return { kind: "refused", reason: "the connection was refused" };
    }
    if (NOT_SENT_CODES.has(code)) {
        return { kind: "notSent", reason: err.message };
    }
    return { kind: "broken", reason: err.message };
};
