export default {
    paths: ["scenarios/features/**/*.feature"],
    import: ["scenarios/steps/**/*.ts"],
    loader: [],
    format: ["progress"],
    publishQuiet: true,
};
