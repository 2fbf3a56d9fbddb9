from pathlib import Path

from endiveworks.client.caller import connect
from endiveworks_standins import demo
from endiveworks_standins.fleet import Fleet


class TestDemo:
    def test_the_sample_program_ends_with_its_order_executed_once(self, tmp_path: Path) -> None:
        with Fleet(tmp_path) as fleet:
            report = demo.run_sample(connect(demo.start(fleet), "signs"))
            orders = [line for line in fleet.executed("shop-1") if line["operation"] == "order"]
        assert report.calls == 5
        assert report.orders_sent == 2 and len(orders) == 1
