/**
 * The links from one gateway to the replicas: a process that forwards a port to
 * each of them. While it is stopped (SIGSTOP), channels hang, and new ones are not
 * established, as the queues of its ports are full.
 *
 * Arguments: the address to listen at, and those of the replicas, IP:PORT each.
 * Prints the ports in the order of the replicas.
 */
import { connect, createServer } from "node:net";
import process from "node:process";

const [ip, ...targets] = process.argv.slice(2);
const ports = await Promise.all(targets.map((target) => {
  const [host, port] = target.split(":");
  const server = createServer((from) => {
    const to = connect(Number(port), host);
    for (const [one, other] of [[from, to], [to, from]]) {
      one.setNoDelay(true);
      one.on("error", () => {});
      one.on("close", () => other.destroy());
      one.pipe(other);
    }
  });
  return new Promise((resolve) =>
    server.listen({ host: ip, port: 0, backlog: 1 }, () =>
      resolve(server.address().port))
  );
}));
console.log(JSON.stringify(ports));
