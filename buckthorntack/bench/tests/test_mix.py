from buckthorntack import bench
from buckthorntack.bench import _mix
from buckthorntack.routing import prefix_hashes

HOARDLINE = bench.WORKLOADS["hoardline"]


def test_mix_depends_on_seed_alone():
    first = bench.generate(HOARDLINE, 1, 20.0)
    assert first == bench.generate(HOARDLINE, 1, 20.0)
    assert first != bench.generate(HOARDLINE, 2, 20.0)


def test_each_region_has_its_peak_in_its_third_of_the_day():
    requests = bench.generate(HOARDLINE, 1, 300.0)
    for number, region in enumerate(HOARDLINE.regions):
        thirds = [0, 0, 0]
        for request in requests:
            if request.region == region and not request.resent:
                thirds[min(2, int(request.at_s / 100.0))] += 1
        assert thirds.index(max(thirds)) == number


def test_organisations_with_a_home_call_from_it():
    for workload in bench.WORKLOADS.values():
        for request in bench.generate(workload, 3, 30.0):
            home = workload.homes.get(request.organisation, request.region)
            assert request.region == home


def test_only_non_idempotent_requests_are_resent_elsewhere():
    requests = bench.generate(HOARDLINE, 1, 60.0)
    first = {r.number: r for r in requests if not r.resent}
    resent = [r for r in requests if r.resent]
    assert resent
    for request in resent:
        assert not request.kind.idempotent
        assert request.entry != first[request.number].entry
        assert request.at_s > first[request.number].at_s


def test_packs_share_their_prefix_within_an_organisation_only():
    requests = [
        request
        for request in bench.generate(HOARDLINE, 1, 60.0)
        if request.kind.name == "contract pack" and request.prefix == 0
    ]
    first = {}
    for request in requests:
        hashes = prefix_hashes(_mix.prompt(request).encode())
        known = first.setdefault(request.organisation, hashes)
        assert hashes[:-2] == known[: len(hashes) - 2]
    assert len({hashes[0] for hashes in first.values()}) == len(first) > 1


def test_the_warm_up_comes_before_the_same_requests():
    alone = bench.generate(HOARDLINE, 1, 10.0)
    whole = _mix.with_warm_up(HOARDLINE, 1, 10.0, 1.0, 5.0)
    measured = [request for request in whole if not request.warms_up]
    assert [r.mark for r in measured] == [r.mark for r in alone]
    assert min(request.at_s for request in measured) >= 5.0
    assert len({r.mark for r in whole if r.warms_up}) == 110
