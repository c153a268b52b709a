/**
 * Decodes answers of the host list. An entry of another writer that can't be used
 * is left out, so that one such entry does not keep daemons from following the
 * others.
 */
import * as z from "zod";
import { socketAddressSchema } from "../core/socket_address.ts";
import {
  type HostListStructure,
  HostRole,
  HostState,
  type HostStructure,
} from "../core/structures.ts";

/** Entries that the reason names. */
const MAX_NAMED_ENTRIES = 3;
const MAX_NAME_LENGTH = 60;

const listSchema = z.object({
  revision: z.number().int().nonnegative(),
  hosts: z.array(z.unknown()),
});

const hostSchema = z.object({
  id: z.string().min(1),
  address: socketAddressSchema,
  failureDomain: z.string(),
  role: z.enum(HostRole),
  service: z.string().default(""),
  state: z.enum(HostState),
});

export interface DecodedHostList {
  hostList: HostListStructure;
  /** Names some entries that were left out; undefined if there are none. */
  unusable: string | undefined;
}

/** Throws if the answer is no host list, or none of its entries can be used. */
export function decodeHostList(value: unknown): DecodedHostList {
  const { revision, hosts: entries } = listSchema.parse(value);
  const hosts: HostStructure[] = [];
  const unusable: unknown[] = [];
  for (const entry of entries) {
    const { data } = hostSchema.safeParse(entry);
    if (data) hosts.push(data);
    else unusable.push(entry);
  }
  if (hosts.length === 0 && unusable.length > 0) {
    throw new Error(
      `Expected entries of hosts, found ${unusable.length} others`,
    );
  }
  return {
    hostList: { revision, hosts },
    unusable: unusable.length === 0 ? undefined : describeEntries(unusable),
  };
}

function describeEntries(entries: readonly unknown[]): string {
  const names = entries.slice(0, MAX_NAMED_ENTRIES).map((entry) => {
    const id = (entry as { id?: unknown } | null)?.id;
    return typeof id === "string" ? id.slice(0, MAX_NAME_LENGTH) : "no id";
  });
  return `${entries.length} entries: ${names.join(", ")}`;
}
