/** Encodes a key or a value for etcd's JSON gateway, which carries bytes as base64. */
export const encodeKey = (text: string): string => Buffer.from(text, "utf8").toString("base64");
