import { createServer } from "node:http";
import { clearInterval, setInterval, setTimeout } from "node:timers";

const BORN_MS = 1_700_000_000_000;
const OK = 200;
const ACCEPTED = 202;
const CONFLICT = 409;
const MISDIRECTED = 421;
const DISK_LOAD_MS = 300;
const STORE_LOAD_MS = 1_200;
const UNLOAD_MS = 60;
const EVENT_MS = 30;
const EVENT_COUNT = 8;

/**
 * Creates a stand-in of a model engine that carries out orders, one at a time, and streams answers for the models that it holds. It
 * doesn't check fencing tokens (`require_fence` is false). `onChange` is called when the models that it holds have changed.
 */
export const createPlacedEngine = ({ id, heldModels, slots, record, onOrder, onChange }) => {
    const models = new Set(heldModels);
    const onDisk = new Set(heldModels);
    let orderCount = 0;
    let running;
    let active = 0;

    const describe = () => ({
        stage: "both",
        born: BORN_MS,
        models: [...models].map(name => ({ name, version: 1, adapters: [] })),
        at_hand: { in_memory: [], on_disk: [...onDisk] },
    });

    const carryOut = ({ operation, model, precondition }) => {
        const isLoad = operation === "load";
        if (running !== undefined || (precondition !== undefined && precondition !== orderCount)) {
            return CONFLICT;
        }
        if (models.has(model) === isLoad) {
            return OK;
        }
        const loadMs = onDisk.has(model) ? DISK_LOAD_MS : STORE_LOAD_MS;
        orderCount += 1;
        running = model;
        setTimeout(() => {
            running = undefined;
            onDisk.add(model);
            models[isLoad ? "add" : "delete"](model);
            onChange();
        }, isLoad ? loadMs : UNLOAD_MS);
        return ACCEPTED;
    };

    const stream = (res, requestId) => {
        let event = 0;
        active += 1;
        res.writeHead(OK, {
            "content-type": "text/event-stream",
            "x-request-id": requestId,
            "x-response-stamp": `${id}.${requestId}`,
            "x-instance-id": id,
            "x-server-load": `${active},0,${slots}`,
        });
        const timer = setInterval(() => {
            event += 1;
            res.write(`id: ${event}\ndata: ${event} of ${requestId}\n\n`);
            if (event === EVENT_COUNT) {
                clearInterval(timer);
                res.end();
            }
        }, EVENT_MS);
        res.on("close", () => {
            clearInterval(timer);
            active -= 1;
            record(`engine ${id} ran ${requestId} up to event ${event} of ${EVENT_COUNT}`);
        });
    };

    const handle = (req, res, body) => {
        const requestId = req.headers["x-request-id"] ?? "";
        const isMeant = [undefined, id].includes(req.headers["x-expect-instance"]);
        if (isMeant && req.url === "/api/report") {
            res.end(JSON.stringify({
                ...describe(),
                in_flight: running !== undefined,
                seq: orderCount,
                queued: 0,
                active,
                kv_used: 0,
                kv_total: 141_956,
                handles: 0,
            }));
        }
        else if (isMeant && req.url === "/api/order") {
            const order = JSON.parse(body);
            const status = carryOut(order);
            onOrder({ engine: id, holder: order.holder, fence: order.fencing_token, text: `${order.operation} ${order.model}`, status });
            res.writeHead(status).end();
        }
        else if (isMeant && models.has(req.headers["x-model"])) {
            stream(res, requestId);
        }
        else {
            res.writeHead(MISDIRECTED, { "x-request-id": requestId, "x-not-run": "1", "x-instance-id": id }).end();
        }
    };

    const server = createServer((req, res) => {
        let body = "";
        req.on("data", chunk => {
            body += chunk;
        });
        req.on("end", () => handle(req, res, body));
    });
    server.keepAliveTimeout = 20_000;
    return { id, server, describe };
};
