/** Why a command failed, with the exit code that says so. */
export interface CliError {
    code: number;
    message: string;
}
