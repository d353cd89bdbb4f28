"""Write docs/EVENTS.md from the catalogue: ``python -m chicorypost.events``."""

from pathlib import Path

from chicorypost.events._page import render_page

if __name__ == "__main__":
    Path("docs/EVENTS.md").write_text(render_page(), encoding="utf-8")
