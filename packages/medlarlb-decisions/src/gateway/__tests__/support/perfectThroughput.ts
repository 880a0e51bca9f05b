interface PerfectOptions {
    engines: number;
    slots: number;
    contextTokens: number;
    msPerPromptToken: number;
    msPerOutputToken: number;
}

interface Prompt {
    tokens: number;
    outputTokens: number;
    actualTokens: number;
    parts: { id: string; tokens: number }[];
}

/**
 * Returns how many of the waiting requests end within a time if one dispatcher knows at each moment what each engine holds. It sends
 * the first of them to the engine that needs the fewest tokens with it, as soon as that has the memory.
 */
export const perfectThroughput = (prompts: readonly Prompt[], durationMs: number, options: PerfectOptions): number => {
    const engines = Array.from({ length: options.engines }, () => ({ runs: [] as { endsAtMs: number; prompt: Prompt }[], busyUntilMs: 0 }));
    const needed = (held: readonly Prompt[]): number => {
        const parts = new Set<string>();
        let tokens = 0;
        for (const prompt of held) {
            tokens += prompt.tokens + prompt.outputTokens;
            let key = "";
            for (const part of prompt.parts) {
                key += `/${part.id}`;
                tokens -= parts.has(key) ? part.tokens : 0;
                parts.add(key);
            }
        }
        return tokens;
    };
    let next = 0;
    let finished = 0;
    for (let nowMs = 0; nowMs <= durationMs;) {
        const prompt = prompts[next];
        const [best] = engines
            .map(engine => ({ engine, tokens: prompt === undefined ? 0 : needed([...engine.runs.map(run => run.prompt), prompt]) }))
            .filter(each => each.tokens <= options.contextTokens && each.engine.runs.length < options.slots)
            .sort((one, other) => one.tokens - other.tokens);
        if (prompt !== undefined && best !== undefined) {
            const { engine } = best;
            engine.busyUntilMs = Math.max(engine.busyUntilMs, nowMs) + prompt.tokens * options.msPerPromptToken;
            engine.runs.push({ endsAtMs: engine.busyUntilMs + prompt.actualTokens * options.msPerOutputToken, prompt });
            next += 1;
            continue;
        }
        nowMs = Math.min(...engines.flatMap(engine => engine.runs.map(run => run.endsAtMs)), Number.POSITIVE_INFINITY);
        for (const engine of engines) {
            finished += nowMs <= durationMs ? engine.runs.filter(run => run.endsAtMs <= nowMs).length : 0;
            engine.runs = engine.runs.filter(run => run.endsAtMs > nowMs);
        }
    }
    return finished;
};
