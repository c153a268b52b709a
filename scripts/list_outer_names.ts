/**
 * Lists the names that leave the process, by where they are written: fields and
 * values of messages, headers and paths, keys of settings and tables, flags,
 * environment variables, metrics with their labels, and log events with their
 * fields. They are read from the source text, so the list may hold a name too
 * many; a renaming keeps all of them.
 */
import { readFileSync } from "node:fs";
import { listSourceFiles } from "./list_files.ts";

const SOURCE_FOLDERS = ["src", "platform", "fakes", "scripts", "bench"];

const OBJECT_KEY = /(?:^|[{,(\s])(\w+):(?!:)/g;
const SHORTHAND_KEY = /[{,]\s*(\w+)(?=\s*[,}])/g;
const STRING = /"([^"\\\n]*)"/g;

function stripComments(text: string): string {
  return text.replace(/\/\*[\s\S]*?\*\//g, "").replace(/^\s*\/\/.*$/gm, "");
}

function listMatches(text: string, pattern: RegExp): string[] {
  return [...text.matchAll(pattern)].map((match) => match[1] ?? "");
}

/** Returns the text from an opening parenthesis to the one that closes it. */
function readArguments(text: string, openAt: number): string {
  let depth = 0;
  for (let at = openAt; at < text.length; at++) {
    if (text[at] === "(") depth += 1;
    if (text[at] === ")") depth -= 1;
    if (depth === 0) return text.slice(openAt, at);
  }
  return text.slice(openAt);
}

function listCalls(text: string, pattern: RegExp): string[] {
  return [...text.matchAll(pattern)].map((match) =>
    readArguments(text, match.index + match[0].length - 1)
  );
}

function listKeysAndStrings(text: string): string[] {
  return [OBJECT_KEY, SHORTHAND_KEY, STRING].flatMap((pattern) =>
    listMatches(text, pattern)
  );
}

const sources = SOURCE_FOLDERS.flatMap(listSourceFiles).map((path) => ({
  path,
  text: stripComments(readFileSync(path, "utf8")),
}));
const listInSources = (pattern: RegExp): string[] =>
  sources.flatMap(({ text }) => listMatches(text, pattern));
const listInCalls = (pattern: RegExp): string[] =>
  sources.flatMap(({ text }) =>
    listCalls(text, pattern).flatMap(listKeysAndStrings)
  );
const readText = (path: string): string => readFileSync(path, "utf8");

/** Types that are encoded field by field under their own names. */
const ENCODED_TYPE_FILES = [
  "src/core/messages.ts",
  "src/core/membership_messages.ts",
  "src/core/table_messages.ts",
  "src/core/structures.ts",
  "src/core/fleet/heartbeat.ts",
  "src/gateway/peer_messages.ts",
];

const SECTIONS: Readonly<Record<string, readonly string[]>> = {
  "messages between daemons (proto/peer.proto)": listMatches(
    readText("proto/peer.proto").replace(/\/\/.*$/gm, ""),
    /(\w+)(?= = \d|\s*[({])/g,
  ),
  "types encoded under their own names": ENCODED_TYPE_FILES.flatMap((path) =>
    listMatches(stripComments(readText(path)), /(\w+)\??:/g)
  ),
  "checked fields and values (zod schemas)": sources
    .filter(({ text }) => /from "zod"/.test(text))
    .flatMap(({ text }) =>
      listCalls(
        text,
        /z\.(?:object|literal|enum|discriminatedUnion|strictObject)\(|(?:Fields|parameters) = \(/g,
      )
        .flatMap(listKeysAndStrings)
    ),
  "values of constant objects": sources.flatMap(({ text }) =>
    [...text.matchAll(/= \{([^{}]*)\} as const/g)].flatMap((match) =>
      listMatches(match[1] ?? "", /: "([\w-]+)"/g)
    )
  ),
  "kinds of unions (only those that a message carries are outer)":
    listInSources(
      /\bkind: "(\w+)"/g,
    ),
  "headers and paths": listInSources(
    /"((?:[Xx]-|kv-|server-|last-|retry-|Retry-|idempotency-|Idempotency-|content-|Content-|\/|op\/|servers\/)[\w\-/:.{}*]*)"/g,
  ),
  "JSON written or shown": listInCalls(/(?:JSON\.stringify|\.json)\(/g),
  "flags": listInSources(/"(-{1,2}[a-z][\w-]*(?:, --[\w-]+)?)"/g),
  "commands": listInSources(/\.command\("([^"]*)"/g),
  "environment variables": [
    ...listInSources(/process\.env\.(\w+)/g),
    ...listInSources(/"(PISTACHIOHATCH_\w+)"/g),
    ...listMatches(
      readText("test/fuzz/tenure_fuzz_test.ts"),
      /process\.env\.(\w+)/g,
    ),
  ],
  "metrics and their labels": [
    ...sources
      .filter(({ path }) => path.endsWith("metrics.ts"))
      .flatMap(({ text }) => listMatches(text, /^ {2}(\w+):/gm)),
    ...listInCalls(/\.(?:count|measure|setGauge)\(/g),
    ...listInSources(/(?:counter|histogram|tag): "(\w*)"/g),
    ...listInSources(/\bchange: "(\w+)"/g),
    ...listInSources(/#describe(?:Belief|Change)\(\s*"(\w+)"/g),
  ],
  "log events and fields": [
    ...listInCalls(/(?:log|logger|[lL]og)\.(?:debug|info|warn|error)\(/g),
    ...listInCalls(/#describe(?:Belief|Change)\(/g),
  ],
  "keys of settings, deploy files and tables": [
    "deploy/settings.yaml.template",
    "deploy/system.toml",
    "examples/settings/gateway.yaml",
    "examples/settings/pistachiohatchd.yaml",
    "examples/tables/pools.yaml",
    "examples/tables/routes.yaml",
  ].flatMap((path) => listMatches(readText(path), /^[\s-]*(\w+)\s*[:=]/gm)),
  "programs and files named outside the code": [
    "src/daemon/main.ts",
    "src/cli/main.ts",
    "platform/main.ts",
    "target/pistachiohatch-gateway.mjs",
    "pistachiohatchd.yaml",
    ...listMatches(readText("package.json"), /"([\w/.]+\.(?:js|ts))"/g),
    ...listMatches(readText("package.json"), /([\w/]+\.ts)\b/g),
  ],
};

for (const [section, names] of Object.entries(SECTIONS)) {
  const listed = [...new Set(names)]
    .filter((name) => /[A-Za-z]/.test(name)).sort();
  console.log(`\n# ${section}\n${listed.join("\n")}`);
}
