/** Returns the media type in a response's headers, in lower case and without parameters. */
export const readMediaType = (headers: readonly [string, string][]): string | undefined =>
    headers.find(([name]) => name === "content-type")?.[1].split(";")[0]?.trim().toLowerCase();
