import { Command, CommanderError } from 'commander';
import { ConfigError, loadSettings } from '../config/settings.ts';
import { loadOptions, OPTION_SPECS } from '../config/options.ts';
import { errorText } from '../base/error-text.ts';
import { createLogger } from '../base/log.ts';
import { Service } from '../controller/service.ts';

const VERSION = '0.1.0';

const EXIT_CODE_FAILURE = 2;

async function serve(args: { config: string; options?: string }): Promise<void> {
  const settings = loadSettings(args.config);
  const options = await loadOptions(args.options);
  const log = createLogger(process.env.LOG_LEVEL, settings.host_name);
  // The command queue catches the errors of its commands; all other errors are logged instead of ending the process.
  process.on('uncaughtException', (error) => {
    log.error({ error: errorText(error) }, 'uncaught exception');
  });
  process.on('unhandledRejection', (reason) => {
    log.error({ error: errorText(reason) }, 'unhandled promise rejection');
  });
  await new Service(settings, options, log).start();
}

function printOptions(): void {
  for (const [section, fields] of Object.entries(OPTION_SPECS)) {
    process.stdout.write(`${section}:\n`);
    for (const [name, spec] of Object.entries(fields)) {
      process.stdout.write(
        `  ${name}: ${spec.defaultValue} # ${spec.unit}, ${spec.min} to ${spec.max}: ${spec.description}\n`,
      );
    }
  }
}

function buildProgram(): Command {
  const program = new Command('pondwick').exitOverride();
  program.description('A cluster scheduler that places tasks by min-cost flow rounds.').version(VERSION);
  program
    .command('serve')
    .description('run one controller')
    .requiredOption('--config <file>', "the platform's settings file (JSON)")
    .option('--options <file>', "the operators' own settings (YAML)")
    .action(serve);
  const config = program.command('config').description('settings files');
  config
    .command('check')
    .description('check a settings file and say what is wrong with it')
    .argument('<file>', 'settings file (JSON)')
    .option('--options <file>', "the operators' own settings (YAML)")
    .action(async (file: string, args: { options?: string }) => {
      const settings = loadSettings(file);
      await loadOptions(args.options);
      process.stdout.write(`${settings.host_name}: settings are valid\n`);
    });
  config
    .command('options')
    .description("print every option with its default, unit and bounds, as an operators' YAML file")
    .action(printOptions);
  return program;
}

/** Runs the command line. Sets exit code 2 for wrong usage, invalid settings or a failed start; never rejects. */
export async function main(argv: readonly string[]): Promise<void> {
  // A reader that closes the pipe early, such as `head`, is not an error.
  process.stdout.on('error', () => {
    process.exit();
  });
  try {
    await buildProgram().parseAsync([...argv]);
  } catch (error) {
    if (error instanceof CommanderError) {
      // Commander has already printed its error message, or the requested help or version.
      process.exitCode = error.exitCode === 0 ? 0 : EXIT_CODE_FAILURE;
      return;
    }
    if (error instanceof ConfigError) process.stderr.write(`pondwick: ${error.message}\n`);
    else process.stderr.write(`pondwick: ${(error as Error).message}\n`);
    process.exitCode = EXIT_CODE_FAILURE;
  }
}
