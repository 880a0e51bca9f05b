import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";

interface RunningProcess {
    child: ChildProcess;
    /** Rest of the line that begins with `ready`, such as a port. */
    readyText: string;
    /** Returns everything that the process has written to standard error. */
    errors: () => string;
    /** Resolves with the exit code, or with undefined if a signal ended the process. */
    exited: Promise<number | undefined>;
    isRunning: () => boolean;
}

const READY_TIMEOUT_MS = 20_000;

/** Starts a Node process and waits until it prints a line that begins with `ready`. */
export const startProcess = (script: string, args: string[]): Promise<RunningProcess> => {
    const child = spawn(process.execPath, [script, ...args], { stdio: ["ignore", "pipe", "pipe"] });
    let errors = "";
    let output = "";
    child.stderr.on("data", chunk => {
        errors += String(chunk);
    });
    const exited = new Promise<number | undefined>(resolve => child.once("exit", code => resolve(code ?? undefined)));
    const isRunning = (): boolean => (child.exitCode ?? undefined) === undefined && (child.signalCode ?? undefined) === undefined;
    return new Promise((resolve, reject) => {
        const timer = setTimeout(() => {
            child.kill("SIGKILL");
            reject(new Error(`${script} didn't print a line "ready" in time: ${errors}`));
        }, READY_TIMEOUT_MS);
        child.stdout.on("data", chunk => {
            output += String(chunk);
            const match = /^ready ?(.*)$/m.exec(output);
            if (match) {
                clearTimeout(timer);
                resolve({ child, readyText: match[1] ?? "", errors: () => errors, exited, isRunning });
            }
        });
        child.once("exit", code => {
            clearTimeout(timer);
            reject(new Error(`${script} exited with code ${code}: ${errors}`));
        });
    });
};
