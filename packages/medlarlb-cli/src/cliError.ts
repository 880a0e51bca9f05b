/** Reason why a command failed, with its exit code. */
export interface CliError {
    /** One of `exitCode`. */
    code: number;
    message: string;
}
