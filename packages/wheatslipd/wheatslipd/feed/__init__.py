"""Keeps the daemon's copy of the platform's objects up to date.

The platform stores three kinds of objects for all daemons: the instance list, the head, which
names the configuration in force, and the zone drains. Each daemon caches them in a
`wheatslip.distribution.feedcache.FeedCache` and fires events on the bus when the cache changes.

Updates reach the cache in four ways:

- A *watcher* reads the platform for its zone. The first two daemons of each zone are watchers;
  every daemon derives this from the instance list (`position`). Both watch the head and the
  zone drains, and the first one also watches the instance list (`watching`).
- Every other daemon is a *follower*: it keeps a stream open to one daemon of its zone, its
  *parent*, which sends updates from its own cache. `relay` serves the streams. `parentfollower`
  reads them, and changes the parent when it fails or sends nothing new. Followers can have
  followers, so the daemons of a zone form a tree.
- The watchers of all zones also follow each other in one *ring*. The second watcher of a zone
  gets the instance list from the ring. A zone whose watchers cannot reach the platform gets all
  updates from the ring.
- A request or a response may carry a *hint*: the bundle version that the sending daemon has in
  force. If it is newer, `hinthandler` asks that daemon and then the platform.

A daemon reads the platform once at its start (`reader`), because it needs the instance list to
find a parent. When no parent sends anything new, it reads what it does not watch itself again:
the addresses of all parents in its list may be outdated.

`cachewriter` checks updates from every source and is the only writer of the cache. `verifier`
decides whether a bundle or a zone drain may be put in force. `feed` creates the parts and runs
them.
"""
