/** Runs one command line of `zincspan`. */
import { cac, type CAC } from 'cac';
import type { DependencyContainer } from 'tsyringe';
import { BUNDLE_CHANGE_COMMANDS } from './bundle/bundle-commands.js';
import { BUNDLE_REPORT_COMMANDS } from './bundle/bundle-report-commands.js';
import type { Command, Flags } from './command/command.js';
import { DEFAULT_CONFIG_FILE } from './config/client-config.js';
import { createContainer } from './container/container.js';
import { EXIT, describeError, exitCodeOf, type ExitCode } from './exit-code.js';
import { KEY_COMMANDS } from './keys/key-commands.js';
import { Output, PROCESS_IO, type Io } from './output/output.js';
import { DRAIN_COMMAND } from './report/drain-command.js';
import { REPORT_COMMANDS } from './report/report-commands.js';
import { TIMELINE_COMMAND } from './timeline/timeline-command.js';
import { UsageError } from './usage-error.js';

const COMMANDS: readonly Command[] = [
  ...KEY_COMMANDS,
  ...BUNDLE_CHANGE_COMMANDS,
  ...BUNDLE_REPORT_COMMANDS,
  ...REPORT_COMMANDS,
  TIMELINE_COMMAND,
  DRAIN_COMMAND,
];

const HELP = `A first bundle, from keys to rollout:
  $ zincspan keys new anu                      (each operator; print goes into the daemons' settings)
  $ zincspan token new                         (each client account; print goes into the bundle)
  $ zincspan bundle check bundle.jsonc
  $ zincspan bundle propose bundle.jsonc --note "first bundle"
  $ zincspan bundle sign bundle.v1.proposal.json --key anu.key.json     (two operators)
  $ zincspan bundle rollout bundle.v1.proposal.json
  $ zincspan bundle status

Client settings (JSON with comments, ${DEFAULT_CONFIG_FILE} or --config):
  { "entries": ["10.0.0.1:7080", "10.0.1.1:7080"], "operator": "anu", "keyFile": "anu.key.json" }

Exit codes:
  0 done  1 refused, or a problem  2 wrong command line or settings  3 no entry answers  4 another operator was first`;

/** Parses and runs `args` (without node and script). Answers the exit code; never throws. */
export async function runCli(
  args: readonly string[],
  { io = PROCESS_IO }: { io?: Io } = {},
): Promise<ExitCode> {
  const json = args.includes('--json');
  const output = new Output({ io, json });
  try {
    const cli = build((configFile) => createContainer({ io, json, configFile }));
    cli.parse(['node', 'zincspan', ...joinName(args)], { run: false });
    if (cli.options.help || cli.options.version) return EXIT.ok;
    if (!cli.matchedCommand) throw unknownCommand(args);
    await cli.runMatchedCommand();
    return EXIT.ok;
  } catch (err) {
    output.error(describeError(err));
    return exitCodeOf(err);
  }
}

function build(containerFor: (configFile: string) => DependencyContainer): CAC {
  const cli = cac('zincspan');
  cli.option('--config <file>', 'Client settings', { default: DEFAULT_CONFIG_FILE });
  cli.option('--json', 'Print JSON in place of tables');
  cli.help((sections) => {
    const { matchedCommand } = cli;
    if (!matchedCommand) return [...shorten(sections), { body: HELP }];
    const [title = { body: '' }, ...rest] = sections;
    return [title, { body: matchedCommand.description }, ...rest];
  });
  cli.version('0.1.0');
  COMMANDS.forEach((command) => register(cli, command, containerFor));
  return cli;
}

function register(
  cli: CAC,
  { name, description, options = [], examples = [], run }: Command,
  containerFor: (configFile: string) => DependencyContainer,
): void {
  const command = cli.command(name, description);
  options.forEach(([flag, text]) => command.option(flag, text));
  examples.forEach((example) => command.example(example));
  command.action((...given: unknown[]) => {
    const flags = withRawText(given.pop() as Flags, cli.rawArgs);
    const args = given.map((arg) => (arg === undefined ? undefined : String(arg)));
    return run(containerFor(String(flags.config)), args as string[], flags);
  });
}

/** cac turns what looks like a number into one; a job or account "007" must stay as it was written. */
function withRawText(flags: Flags, args: readonly string[]): Flags {
  const entries = Object.entries(flags).map(([name, value]) => {
    if (typeof value !== 'number') return [name, value];
    const at = args.findIndex((arg) => arg === `--${name}` || arg.startsWith(`--${name}=`));
    const [, inline] = /^[^=]*=(.*)$/.exec(args[at] ?? '') ?? [];
    return [name, inline ?? args[at + 1]];
  });
  return Object.fromEntries(entries) as Flags;
}

/** The list "run any command with --help" only repeats the list of commands. */
function shorten(sections: { title?: string; body: string }[]): { title?: string; body: string }[] {
  return sections.filter(({ title }) => !title?.startsWith('For more info'));
}

/** cac matches one word: the two of `bundle check` are joined for it. */
function joinName(args: readonly string[]): string[] {
  const isPair = (first: string, second = ''): boolean =>
    second !== '' && COMMANDS.some(({ name }) => `${name} `.startsWith(`${first} ${second} `));
  const at = args.findIndex((arg, i) => isPair(arg, args[i + 1]));
  if (at < 0) return [...args];
  return [...args.slice(0, at), `${args[at]} ${args[at + 1]}`, ...args.slice(at + 2)];
}

function unknownCommand(args: readonly string[]): UsageError {
  const given = args.filter((arg) => !arg.startsWith('-')).slice(0, 2);
  const detail =
    given.length === 0 ? 'No command was given.' : `There is no command "${given.join(' ')}".`;
  return new UsageError(detail, 'See "zincspan --help" for those there are.');
}
