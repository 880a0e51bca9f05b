import js from "@eslint/js";
import stylistic from "@stylistic/eslint-plugin";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["target/**", "**/lib/**", "**/node_modules/**", ".checks/**"] },
    js.configs.recommended,
    ...tseslint.configs.recommended,
    stylistic.configs.customize({
        indent: 4,
        quotes: "double",
        semi: true,
        braceStyle: "stroustrup",
        commaDangle: "always-multiline",
        arrowParens: false,
    }),
    {
        languageOptions: { globals: { process: "readonly", console: "readonly" } },
        rules: {
            "curly": ["error", "all"],
            "one-var": ["error", "never"],
            "prefer-const": "error",
            "eqeqeq": "error",
            "prefer-arrow-callback": "error",
            "func-style": ["error", "expression"],
            "complexity": ["error", 20],
            "max-lines": ["error", 320],
            "no-restricted-syntax": [
                "error",
                { selector: "Literal[raw='null']", message: "Use undefined in place of null." },
                { selector: "TSInterfaceDeclaration[id.name=/^I[A-Z]/]", message: "Name interfaces without the I prefix." },
            ],
            "@stylistic/max-len": ["error", { code: 140, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreRegExpLiterals: true }],
            "@stylistic/max-statements-per-line": ["error", { max: 1 }],
            "@stylistic/arrow-parens": ["error", "as-needed"],
            "@stylistic/operator-linebreak": ["error", "before"],
            "@stylistic/quote-props": ["error", "consistent-as-needed"],
            "@typescript-eslint/consistent-type-imports": "error",
        },
    },
    {
        // Step functions need their own this, and their texts are long.
        files: ["scenarios/steps/*.ts"],
        rules: { "@stylistic/max-len": "off", "prefer-arrow-callback": "off" },
    },
    {
        files: ["admin/*.cjs"],
        languageOptions: { globals: { require: "readonly", module: "writable" } },
        rules: { "@typescript-eslint/no-require-imports": "off" },
    },
);
