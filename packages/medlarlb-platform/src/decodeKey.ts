/** Decodes text of the JSON gateway. */
export const decodeKey = (text: string): string => Buffer.from(text, "base64").toString("utf8");
