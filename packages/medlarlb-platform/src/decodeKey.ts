/** Decodes a key or a value from etcd's JSON gateway, which carries bytes as base64. */
export const decodeKey = (text: string): string => Buffer.from(text, "base64").toString("utf8");
