// The usual client libraries, unmodified: cassandra-driver at the one door, pg at the other, while a store dies.
// Starts the toy and a front of the build in ../../build, and ends them. Exits with 1 if anything isn't as told.
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import cassandra from 'cassandra-driver';
import pg from 'pg';

const root = new URL('../..', import.meta.url).pathname;
const start = (program, args, env = {}) =>
  spawn(`${root}build/${program}`, args, { cwd: root, env: { ...process.env, ...env }, stdio: ['ignore', 'ignore', 'ignore'] });

let wrong = 0;
function tell(what, good, detail = '') {
  if (!good) wrong += 1;
  console.log(`${good ? 'ok  ' : 'BAD '} ${what}${detail ? `: ${detail}` : ''}`);
}

const toy = start('reedchute_toy', ['serve']);
await sleep(300);
const front = start('reedchute', ['--settings', 'example/cassandra.hcl'], { LB_CONFIG: 'example/config.json' });
await sleep(700);

const client = new cassandra.Client({
  contactPoints: ['127.0.0.1:7442'],
  localDataCenter: 'dc1',
  keyspace: 'weather',
  encoding: { set: Set },
});
let number = 0;
const payload = (workload, mark) => ({
  customPayload: Object.fromEntries(
    Object.entries({ id: `node-${(number += 1)}`, c: workload, d: '3000', cluster: '1', ...(mark ? { k: mark } : {}) })
      .map(([name, value]) => [name, Buffer.from(value)])),
});

try {
  await client.connect();
  tell('connects', true, `${client.hosts.length} host, protocol v${client.controlConnection.protocolVersion}`);

  const plain = await client.execute("SELECT payload FROM weather.entries WHERE ref = 'hello'");
  tell('a plain read, mapped by keyspace', plain.rows[0].payload === 'value of hello');

  const bare = await client.execute("SELECT payload FROM entries WHERE ref = 'bare'");
  tell('a bare name in the keyspace of the client', bare.rows[0].payload === 'value of bare');

  let right = 0;
  for (let k = 0; k < 50; k += 1) {
    const got = await client.execute('SELECT payload FROM weather.entries WHERE ref = ?', [`k${k}`], { prepare: true });
    right += got.rows[0].payload === `value of k${k}`;
  }
  tell('prepared reads', right === 50, `${right} of 50`);

  const together = await Promise.all(Array.from({ length: 500 }, (_, k) =>
    client.execute('SELECT payload FROM weather.entries WHERE ref = ?', [`t${k}`], { prepare: true })
      .then((got) => got.rows[0].payload === `value of t${k}`, (error) => error.code)));
  const good = together.filter((one) => one === true).length;
  const turned = together.filter((one) => one === cassandra.types.responseErrorCodes.overloaded).length;
  tell('500 at once, each its own or rejected', good + turned === 500, `${good} completed, ${turned} rejected`);

  const pages = [];
  for await (const row of client.stream('SELECT payload FROM weather.entries WHERE ref = ?', ['pages3'],
    { prepare: true, fetchSize: 1, autoPage: true })) pages.push(row.payload);
  tell('a read of three pages', pages.join() === 'page 1,page 2,page 3', pages.join());

  await client.batch([
    { query: 'INSERT INTO weather.entries (ref) VALUES (?)', params: ['b1'] },
    { query: 'INSERT INTO weather.entries (ref) VALUES (?)', params: ['b2'] },
  ], { prepare: true, ...payload('write', 'mark-1') });
  tell('a marked batch of prepared writes', true);

  const named = await client.execute('SELECT payload FROM weather.entries WHERE ref = ?', ['slow50'],
    { prepare: true, ...payload('near') });
  tell('a read with its workload in the custom payload', named.rows[0].payload === 'value of slow50');

  await client.execute("SELECT payload FROM nowhere.entries WHERE ref = 'a'")
    .then(() => tell('what maps to nothing', false), (error) => tell('what maps to nothing is refused', error.code === 0x2200));

  const died = await client.execute('SELECT payload FROM weather.entries WHERE ref = ?', ['die-ok'], { prepare: true });
  tell('a read whose store dies', died.rows[0].payload === 'value of die-ok');
  let after = 0;
  for (let k = 0; k < 100; k += 1)
    after += await client.execute('SELECT payload FROM weather.entries WHERE ref = ?', [`a${k}`], { prepare: true })
      .then((got) => got.rows[0].payload === `value of a${k}`, () => false);
  tell('reads after it died', after === 100, `${after} of 100`);

  const other = new pg.Client({ host: '127.0.0.1', port: 7432, user: 'web', database: 'orders' });
  await other.connect();
  const simple = await other.query("SELECT payload FROM entries WHERE ref = 'pg' /* id=pg-1,c=any,d=3000,cluster=1 */");
  tell('pg: a simple query at the other door', simple.rows[0].payload.toString() === 'value of pg');
  await other.query('SELECT payload FROM entries WHERE ref = $1', ['pg'])
    .then(() => tell('pg: parameters', false), (error) => tell('pg: parameters are told to be unknown here', error.code === '0A000'));
  await other.end().catch(() => {});
} catch (error) {
  tell('an unexpected error', false, String(error.stack));
} finally {
  await client.shutdown().catch(() => {});
  front.kill('SIGTERM');
  const [code] = await Promise.race([once(front, 'exit'), sleep(5000, ['late'])]);
  tell('the front ends in order', code === 0);
  toy.kill();
}
process.exit(wrong ? 1 : 0);
