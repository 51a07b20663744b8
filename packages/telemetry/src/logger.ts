import winston from 'winston';

/** Structured fields of a log line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes log lines whose message is a sentence with the prefix of a component. */
export interface Logger {
  error(sentence: string, fields?: LogFields): void;
  warn(sentence: string, fields?: LogFields): void;
  info(sentence: string, fields?: LogFields): void;
  debug(sentence: string, fields?: LogFields): void;
  /** Returns a logger with the prefix of another component of this process. */
  part(prefix: string): Logger;
}

export interface LoggerSettings {
  readonly level: string;
  readonly instanceId: string;
}

/** Logs JSON lines to standard error. */
export function createLogger(settings: LoggerSettings): Logger {
  const root = winston.createLogger({
    level: settings.level,
    defaultMeta: {instance: settings.instanceId},
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.json(),
    ),
    transports: [
      new winston.transports.Console({
        stderrLevels: ['error', 'warn', 'info', 'debug'],
      }),
    ],
  });
  return toLogger(root, 'main');
}

/** Logs nothing. */
export const silentLogger: Logger = {
  error: () => {},
  warn: () => {},
  info: () => {},
  debug: () => {},
  part: () => silentLogger,
};

function toLogger(root: winston.Logger, prefix: string): Logger {
  const write =
    (level: string) =>
    (sentence: string, fields: LogFields = {}): void => {
      root.log({level, message: `[${prefix}] ${sentence}`, ...fields});
    };
  return {
    error: write('error'),
    warn: write('warn'),
    info: write('info'),
    debug: write('debug'),
    part: (name) => toLogger(root, name),
  };
}
