/** Layout of the frames between instances. */
export const frameLayout = {
    lengthBytes: 4,
    /** Value that is added to the length of a body that is compressed. */
    compressedFlag: 0x8000_0000,
};
