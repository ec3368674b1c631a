"""Keeps the daemon's copy of the platform's objects up to date: how news reaches a daemon.

The platform holds three things for all daemons: the list of instances, the head, which names
the configuration in force, and the zone drains. Each daemon has a copy of them, a
`wheatslip.distribution.feedcache.FeedCache`, and fires events on the bus when it changes.

News takes one of four ways into the copy:

- A *watcher* reads the platform for its zone. The first two daemons of each zone are watchers;
  every daemon works that out from the list (`place`). Both watch the head and the zone drains,
  the first one watches the list too (`watching`).
- Every other daemon is a *follower*: it keeps a stream open to one daemon of its zone, its
  *parent*, which sends updates from its own copy. `relay` serves them; `following` takes them,
  and changes the parent when one fails or has no news. Followers of followers make a tree.
- The watchers of all zones follow each other in one *ring* besides. The second watcher of a
  zone has the list from it; a zone whose watchers the platform does not answer has all its news
  from it.
- A request or its answer may carry a *hint*: the version that the daemon on the other side has
  in force. Where that is newer, `hints` asks that daemon, and then the platform.

A daemon that starts reads the platform once (`reader`), because it needs the list to know whom
to follow. When no parent has news it reads again what it does not watch itself: the list may be
so old that it names none of the parents' present addresses.

`intake` checks whatever comes, by any way, and is the only writer of the copy; `proof` decides
what may be put in force. `feed` makes the parts and runs them.
"""
