/**
 * Addresses at which other processes are reached. Those that come from the store,
 * the host list or a peer may be anything: only an IP address of one machine
 * with a port is used, never a name, which would be looked up, nor an address
 * that means this machine or many.
 */
import * as z from "zod";

const MAX_PORT = 65_535;
const PORT = /^[1-9]\d{0,4}$/;
/**
 * An IPv4 address whose first byte is neither 0, which means this machine, nor 224
 * and more, which are multicast and reserved addresses.
 */
const IPV4_OF_ONE_MACHINE =
  /^(?:[1-9]\d?|1\d\d|2[01]\d|22[0-3])(?:\.(?:\d|[1-9]\d|1\d\d|2[0-4]\d|25[0-5])){3}$/;
const IPV6 = z.ipv6();
const IPV6_UNSPECIFIED_OR_MULTICAST = /^(?:ff|::$)/i;

/** Splits `IP:port`, with the IP in brackets for IPv6. */
export function parseSocketAddress(
  address: string,
): { host: string; port: number } {
  const separator = address.lastIndexOf(":");
  return {
    host: address.slice(0, separator).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(separator + 1)),
  };
}

/** Returns whether the text is the IP address of one other machine. */
export function isIpAddress(text: string): boolean {
  if (IPV4_OF_ONE_MACHINE.test(text)) return true;
  return text.includes(":") && IPV6.safeParse(text).success &&
    !IPV6_UNSPECIFIED_OR_MULTICAST.test(text);
}

/** Returns whether the text is `IP:port` with an address that can be used. */
export function isSocketAddress(text: string): boolean {
  const separator = text.lastIndexOf(":");
  const portText = text.slice(separator + 1);
  if (!PORT.test(portText) || Number(portText) > MAX_PORT) return false;
  const hostText = text.slice(0, separator);
  const isBracketed = hostText.startsWith("[") && hostText.endsWith("]");
  const { host } = parseSocketAddress(text);
  return host.includes(":") === isBracketed && isIpAddress(host);
}

export const ipAddressSchema = z.string().refine(isIpAddress, {
  error: "expected an IP address of one machine",
});

export const socketAddressSchema = z.string().refine(isSocketAddress, {
  error: `expected IP:port with a port from 1 to ${MAX_PORT}`,
});
