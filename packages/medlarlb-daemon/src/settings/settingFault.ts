/** Fault in a settings file. */
export interface SettingFault {
    line: number;
    key: string;
    message: string;
    remedy: string;
}
