declare const brandName: unique symbol;

/** A primitive that the type checker keeps apart from others of the same representation. */
export type Brand<Value, Name extends string> = Value & { readonly [brandName]: Name };
