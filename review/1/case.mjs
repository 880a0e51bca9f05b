import { URL } from "node:url";
import { playWrongBytes } from "../support/playWrongBytes.mjs";

const SLACK_MS = 500;
const SPACES = 8_000;

/** A head with wrong bytes: a run of spaces and a zero byte. The answer has no length and ends with its connection. */
const writeWrongAnswer = (socket, run, head) =>
    socket.end(`HTTP/1.1 200 OK\r\n${head.join("\r\n")}\r\nX-Response-Stamp:${" ".repeat(SPACES)}\0${run.stamp}\r\n\r\n${run.body}`);

/** CONFIG: of the requests without an answer at the route's time-out, those that still have none half a second later. */
const judge = ({ outcomes, gateways, routeTimeoutMs }) => {
    const unanswered = outcomes.filter(each => each.endedAtMs - each.sentAtMs >= routeTimeoutMs);
    const late = unanswered.filter(each => each.endedAtMs - each.sentAtMs >= routeTimeoutMs + SLACK_MS);
    const ownEnds = gateways.filter(each => each.exit !== undefined && !each.signalled);
    return {
        isBroken: late.length > unanswered.length / 2,
        text: `unanswered at the route's time-out: ${unanswered.length}, half a second later: ${late.length} (more than half break CONFIG); `
            + `processes that ended by themselves: ${ownEnds.length}`,
    };
};

await playWrongBytes({ folder: new URL(".", import.meta.url).pathname, writeWrongAnswer, judge });
