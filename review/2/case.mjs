import { URL } from "node:url";
import { playWrongBytes } from "../support/playWrongBytes.mjs";

const MAX_LOST = 3;

/** A head with one wrong byte: the control character 7 stands in the stamp. The answer has no length and ends with its connection. */
const writeWrongAnswer = (socket, run, head) =>
    socket.end(`HTTP/1.1 200 OK\r\n${head.join("\r\n")}\r\nX-Response-Stamp: ${run.stamp}\u0007\r\n\r\n${run.body}`);

/** LOST: requests from kept connections that a sound engine got, and whose connection ended without an answer, by machine. */
const judge = ({ outcomes, runs, gateways, machines, faultyEngine }) => {
    const ownEnds = gateways.filter(each => each.exit !== undefined && !each.signalled);
    const lost = machines.map(machine => outcomes.filter(each =>
        each.machine === machine && each.isKept && each.error?.startsWith("no answer (") === true && !each.error.includes("within")
        && runs.has(each.id) && runs.get(each.id).engine !== faultyEngine).length);
    return {
        isBroken: lost.some(count => count > MAX_LOST),
        text: `processes that ended by themselves: ${ownEnds.length}; requests at sound engines whose kept connection was closed without an answer, `
            + `by machine: ${lost.join(", ")} (more than ${MAX_LOST} break LOST)`,
    };
};

await playWrongBytes({ folder: new URL(".", import.meta.url).pathname, writeWrongAnswer, judge });
